package wharfseed

import (
	"flag"

	// The import registers the flag, so that init can set it.
	_ "pgregory.net/rapid"
)

const seed = "20261203"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
