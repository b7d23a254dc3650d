package kit

import (
	"strconv"
	"time"
)

func itoa(n int) string { return strconv.Itoa(n) }

func seconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }
