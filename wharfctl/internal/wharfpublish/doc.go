// Package wharfpublish writes configuration changes to the platform's log and
// determines whether they were accepted. It prints nothing; the commands of
// wharfctl print what it returns.
package wharfpublish
