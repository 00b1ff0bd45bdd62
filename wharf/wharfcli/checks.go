package wharfcli

import (
	"net/netip"
	"net/url"
	"regexp"
	"time"
)

var domainName = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// Address checks that a value is an IP number and a port.
func (f *Issues) Address(flag, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		f.Add(flag, "%q is not of the form IP:port", value)
	}
}

// URL checks that a value is an absolute HTTP URL.
func (f *Issues) URL(flag, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		f.Add(flag, "%q is not a URL such as http://127.0.0.1:7400", value)
	}
}

// Name checks that a value is a short kebab-case name.
func (f *Issues) Name(flag, value string) {
	if !domainName.MatchString(value) {
		f.Add(flag, "%q is not a name of lower-case letters, digits and hyphens", value)
	}
}

// AtLeast checks the least value of a time span.
func (f *Issues) AtLeast(flag string, value, least time.Duration) {
	if value < least {
		f.Add(flag, "%v is shorter than %v", value, least)
	}
}
