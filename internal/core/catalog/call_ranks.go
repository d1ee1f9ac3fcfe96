package catalog

// CallsRanked reports whether the priorities of routes and accounts order the calls of a service: two of its routes that
// are not of kind Stream and that require a key state different priorities. Routes without a key serve to test which
// version is in force.
func (c *Config) CallsRanked(service string) bool {
	priority, found := 0, false
	for _, routes := range c.routes {
		for i := range routes {
			r := &routes[i]
			if r.Kind == Stream || !c.RequiresKey(r) || !r.Allows(service) {
				continue
			}
			if found && r.Priority != priority {
				return true
			}
			priority, found = r.Priority, true
		}
	}
	return false
}
