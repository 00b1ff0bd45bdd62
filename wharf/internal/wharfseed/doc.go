// Package wharfseed fixes the seed of the property tests, so that each run
// gives the same verdict. Tests import it for its effect only; the flag
// -rapid.seed still overrides it.
package wharfseed
