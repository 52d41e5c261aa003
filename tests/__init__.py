from gevent import monkey

monkey.patch_all()

import logging

from hypothesis import settings

settings.register_profile("ci", derandomize=True, deadline=None, database=None)
settings.load_profile("ci")
logging.disable(logging.CRITICAL)
