package configcheck

import (
	"strings"

	"bramleygap/internal/core/catalog"
)

// checker collects the findings of one configuration.
type checker struct {
	*Configuration
	findings []Finding
}

func (c *checker) add(code Code, key string, field Field, format string, args ...any) {
	c.findings = append(c.findings, New(code, c.Format.At(key, field), format, args...))
}

// Errors returns the faults of the model for which the configuration is refused or cannot be served.
func Errors(config *Configuration) []Finding {
	c := &checker{Configuration: config}
	c.uniqueNames()
	c.knownServices()
	return c.findings
}

func (c *checker) uniqueNames() {
	unique := func(kind string) func(key, name string) {
		seen := make(map[string]string)
		return func(key, name string) {
			if other, ok := seen[name]; ok && name != "" {
				c.add(DuplicateName, key, Name, "%s %q exists already (%s); write another name or remove one", kind, name, other)
				return
			}
			seen[name] = key
		}
	}
	route, service, account := unique("route"), unique("service"), unique("account")
	for i := range c.Routes {
		route(c.Routes[i].Key, c.Routes[i].Name)
	}
	for i := range c.Services {
		service(c.Services[i].Key, c.Services[i].Name)
	}
	for i := range c.Accounts {
		account(c.Accounts[i].Key, c.Accounts[i].Name)
	}
}

func (c *checker) knownServices() {
	known := make(map[string]bool)
	for i := range c.Services {
		known[c.Services[i].Name] = true
	}
	for i := range c.Routes {
		for _, s := range c.Routes[i].Shares {
			if !known[s.Service] {
				c.add(UnknownService, s.Key, Whole, "route %q leads to service %q, which does not exist; write the name of a service", c.Routes[i].Name, s.Service)
			}
		}
	}
}

// Warnings returns entries that can never match, limits that contradict each other, and information. The
// configuration must be free of errors.
func Warnings(config *Configuration) []Finding {
	c := &checker{Configuration: config}
	c.hiddenRoutes()
	for i := range c.Routes {
		c.route(&c.Routes[i])
	}
	c.idleRoutes()
	c.unreachedServices()
	c.accountKeys()
	c.unusedNames()
	for i := range c.Services {
		c.service(&c.Services[i])
	}
	c.timeoutsOfCallees()
	c.priorities()
	c.requestLimits()
	return c.findings
}

// hiddenRoutes finds routes whose requests all go to another one. Of routes with equally long paths the earlier
// one serves, and a GET route serves HEAD as well. A longer prefix takes only a part of the requests.
func (c *checker) hiddenRoutes() {
	type selector struct {
		scope, method, prefix string
		exact                 bool
	}
	seen := make(map[selector]string)
	for i := range c.Routes {
		r := &c.Routes[i]
		s := selector{strings.ToLower(r.Scope), r.Method, r.Prefix, r.Exact}
		other, hidden := seen[s]
		if !hidden && r.Method == "HEAD" {
			get := s
			get.method = "GET"
			other, hidden = seen[get]
		}
		if hidden {
			c.add(HiddenRoute, r.Key, Prefix, "route %q never serves a request: route %q before it has the same host and path; remove one or change its path", r.Name, other)
			continue
		}
		seen[s] = r.Name
	}
}

func (c *checker) route(r *Route) {
	if c.PerRoute && (r.Scope == "" || strings.ContainsAny(r.Scope, ":/*?# ")) {
		c.add(ImpossibleHost, r.Key, Host, "no request has the host %q (a port in a request is ignored); write a host name without port, scheme, path or wildcard", r.Scope)
	}
	c.weights(r)
	c.limitsOfRoute(r)
	if r.Kind == catalog.Stream {
		return
	}
	if r.EventGap > 0 {
		c.add(WithoutEffect, r.Key, EventGap, "route %q has no events, so that the longest gap between them has no effect; remove it or make the route a stream", r.Name)
	}
	if r.Resumable {
		c.add(WithoutEffect, r.Key, Resumable, "route %q is no stream, so that it cannot be resumed; remove the key or make the route a stream", r.Name)
	}
}

func (c *checker) weights(r *Route) {
	total := 0
	seen := make(map[string]bool)
	for _, s := range r.Shares {
		total += s.Weight
		if seen[s.Service] {
			c.add(ServiceTwiceInRoute, s.Key, Whole, "route %q lists service %q twice, so that it gets both weights; write one of them with their sum", r.Name, s.Service)
		}
		seen[s.Service] = true
	}
	if total == 0 {
		c.add(ClosedRoute, r.Key, Shares, "all weights of route %q are 0, so that each of its requests is refused; give one service a weight", r.Name)
		return
	}
	for _, s := range r.Shares {
		if s.Weight == 0 {
			c.add(ZeroWeight, s.Key, Weight, "route %q sends nothing to service %q, whose weight is 0; remove it or give it a weight", r.Name, s.Service)
		}
	}
}

func (c *checker) unreachedServices() {
	reached := make(map[string]bool)
	for i := range c.Routes {
		for _, s := range c.Routes[i].Shares {
			reached[s.Service] = reached[s.Service] || s.Weight > 0
		}
	}
	usable, all := make(map[string]bool), len(c.Accounts) == 0
	for i := range c.Accounts {
		all = all || len(c.Accounts[i].Services) == 0
		for _, name := range c.Accounts[i].Services {
			usable[name] = true
		}
	}
	for i := range c.Services {
		for _, name := range c.Services[i].DependsOn {
			usable[name] = true
		}
	}
	for i := range c.Services {
		s := &c.Services[i]
		switch {
		case s.Direct && !all && !usable[s.Name]:
			c.add(UnreachedService, s.Key, Name, "no account may use service %q and no service depends on it; list it at an account or remove it", s.Name)
		case !s.Direct && !reached[s.Name]:
			c.add(UnreachedService, s.Key, Name, "no route leads to service %q; add a route or remove the service", s.Name)
		}
	}
}

// accountKeys finds accounts that no request can belong to. A key of two accounts leads to the later one.
func (c *checker) accountKeys() {
	owner := make(map[string]int)
	for i := range c.Accounts {
		for _, key := range c.Accounts[i].Keys {
			owner[key] = i
		}
	}
	for i := range c.Accounts {
		a := &c.Accounts[i]
		leads := false
		for _, key := range a.Keys {
			leads = leads || owner[key] == i && key != ""
		}
		if !leads {
			c.add(KeylessAccount, a.Key, Keys, "no key leads to account %q; give it a key of its own or remove it", a.Name)
			continue
		}
		for _, key := range a.Keys {
			if j := owner[key]; j != i {
				c.add(SharedKey, a.Key, Keys, "account %q shares a key with account %q, to which its requests are charged; give each account its own keys", a.Name, c.Accounts[j].Name)
			}
		}
	}
}

func (c *checker) unusedNames() {
	members, classes := make(map[string]bool), make(map[string]bool)
	for i := range c.Accounts {
		members[c.Accounts[i].Member] = true
	}
	for i := range c.Services {
		classes[c.Services[i].Class] = true
	}
	for _, m := range c.Members {
		if !members[m.Name] {
			c.add(UnusedMember, m.Key, Name, "no account counts for member %q, so that its share has no effect; add an account or remove the member", m.Name)
		}
	}
	for _, class := range c.Classes {
		if !classes[class.Name] {
			c.add(UnusedClass, class.Key, Name, "no service has the target class %q; name it at a service or remove it", class.Name)
		}
	}
}
