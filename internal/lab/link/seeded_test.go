package link

import _ "wrenspread/internal/rapidseed" // makes rapid draw the same values in every run
