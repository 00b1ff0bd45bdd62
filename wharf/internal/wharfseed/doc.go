// Package wharfseed fixes the seed of the property tests, so that each run has
// the same result. Tests import it for its side effect only; the flag
// -rapid.seed still overrides it.
package wharfseed
