package wharfcli

import (
	"net/netip"
	"net/url"
	"regexp"
	"time"
)

// dnsLabel matches a DNS label in lower case.
var dnsLabel = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// CheckAddress adds an issue if the value is not an IP address with a port.
func (list *Issues) CheckAddress(flag, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		list.Add(flag, "%q is not of the form IP:port", value)
	}
}

// CheckURL adds an issue if the value is not an absolute http or https URL.
func (list *Issues) CheckURL(flag, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		list.Add(flag, "%q is not a URL such as http://127.0.0.1:7400", value)
	}
}

// CheckName adds an issue if the value is not a lower-case DNS label.
func (list *Issues) CheckName(flag, value string) {
	if !dnsLabel.MatchString(value) {
		list.Add(flag, "%q is not a name of lower-case letters, digits and hyphens", value)
	}
}

// CheckAtLeast adds an issue if the duration is shorter than the minimum.
func (list *Issues) CheckAtLeast(flag string, value, minimum time.Duration) {
	if value < minimum {
		list.Add(flag, "%v is shorter than %v", value, minimum)
	}
}
