// Package wharfsettings holds the settings of a node: flags and environment
// variables, checked together at the start.
package wharfsettings
