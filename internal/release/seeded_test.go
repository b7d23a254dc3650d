package release

import _ "wrenspread/internal/rapidseed" // fixes the seed of the drawn tests
