package release

import _ "wrenspread/internal/rapidseed" // the draws of this package are the same each time
