"""Maintain the state on which the filters base their decisions."""
