package tomlcheck

import (
	"net"
	"net/netip"
	"net/url"
	"regexp"
	"strconv"
)

// namePattern excludes "/", which separates the parts of table keys.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// Name checks an identifier.
func (d *Document) Name(key, name string) {
	switch {
	case name == "":
		d.Add(key, "is missing; write a name")
	case !namePattern.MatchString(name):
		d.Add(key, "%q is not a name; write 1 to 64 letters, digits, '.', '_' or '-', starting with a letter or digit", name)
	}
}

// Address checks host:port with an IP address; an empty host is accepted if anyHost is set.
func (d *Document) Address(key, address string, anyHost bool) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		d.Add(key, "%q is not an address; write IP:PORT, for example 10.0.0.5:7400", address)
		return
	}
	if number, err := strconv.ParseUint(port, 10, 16); err != nil || number == 0 {
		d.Add(key, "%q is not a port; write a number from 1 to 65535", port)
	}
	if host == "" && anyHost {
		return
	}
	ip, err := netip.ParseAddr(host)
	if err != nil {
		d.Add(key, "%q is not an IP address; processes reach each other by IP address, for example 10.0.0.5", host)
		return
	}
	if ip.IsUnspecified() && !anyHost {
		d.Add(key, "%q cannot be dialled by other VMs; write the VM's own IP address", host)
	}
}

// URL checks an absolute HTTP or HTTPS URL.
func (d *Document) URL(key, text string) {
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		d.Add(key, "%q is not a URL; write for example http://10.0.0.9:8080", text)
	}
}
