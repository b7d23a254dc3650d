// Package rapidseed fixes the seed of tests that draw values with rapid, so that the result of a run depends
// on the code only. Such tests import it for its side effect. The flag -rapid.seed sets another seed; 0 is a
// random one.
package rapidseed

import (
	"flag"

	_ "pgregory.net/rapid" // declares the flags that are set here
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic("rapidseed: " + err.Error())
		}
	}
}
