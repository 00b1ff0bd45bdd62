// Package wharftimer holds the waiting functions that all programs share.
// Decision packages don't use it: they take times as arguments.
package wharftimer
