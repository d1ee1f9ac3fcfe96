// Package rapidseed gives the property tests that import it a fixed seed, so that each run of the
// tests draws the same cases and reaches the same verdict. go test -rapid.seed=0 draws new ones.
package rapidseed

import (
	"flag"
	"fmt"

	// The import registers the flag before init sets it.
	_ "pgregory.net/rapid"
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(fmt.Sprintf("set the seed of property tests: %v", err))
	}
}
