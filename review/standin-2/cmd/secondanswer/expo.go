package main

import "math"

// expo turns a uniform draw into an exponential one of mean 1.
func expo(u float64) float64 { return -math.Log(1 - u) }
