// Package wharfpurity holds the test that keeps the decision packages pure.
package wharfpurity
