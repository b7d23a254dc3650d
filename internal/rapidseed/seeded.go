// Package seeded is imported, without a name, by tests that draw with rapid: the draws are the same each time, so that a
// run's verdict depends on the code alone, unless the command line names another seed (-rapid.seed; 0 for a new one).
package rapidseed

import (
	"flag"

	_ "pgregory.net/rapid" // it declares the flags that are set here
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic("seeded: " + err.Error())
		}
	}
}
