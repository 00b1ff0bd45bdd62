// Package wharfcli holds the command-line code that the programs share: parsing
// with one exit code for usage errors, checks of settings that report all
// issues at once, and the setup of logging.
//
// Only the main packages and their commands use it.
package wharfcli
