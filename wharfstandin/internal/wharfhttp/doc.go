// Package wharfhttp serves HTTP for the stand-ins.
package wharfhttp
