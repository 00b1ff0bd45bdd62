// Package wharfrandom holds the random numbers of a node. Decision packages get
// theirs from outside.
package wharfrandom
