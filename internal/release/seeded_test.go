package release

import _ "indigotack/internal/seeded" // the draws of this package are the same each time
