// Package rapidseed is imported, without a name, by tests that draw with rapid. It fixes the seed, so that
// the result of a run depends on the code alone. The flag -rapid.seed chooses another seed, 0 a random one.
package rapidseed

import (
	"flag"

	_ "pgregory.net/rapid" // it declares the flags that are set here
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic("rapidseed: " + err.Error())
		}
	}
}
