// Package wharftimer holds the waits that all programs share. Decision packages
// don't use it: they get their times from outside.
package wharftimer
