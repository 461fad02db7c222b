package routetable

import "strings"

// Table is an index of one Config for lookups.
type Table struct {
	Config          Config
	services        map[string]*Service
	customersByKey  map[string]*Customer
	customersByName map[string]*Customer
	routesByHost    map[string]map[string]*Route
}

// NewTable returns a Table of the configuration.
func NewTable(c Config) *Table {
	t := &Table{
		Config:          c,
		services:        make(map[string]*Service, len(c.Services)),
		customersByKey:  make(map[string]*Customer),
		customersByName: make(map[string]*Customer, len(c.Customers)),
		routesByHost:    make(map[string]map[string]*Route),
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Customers {
		t.customersByName[c.Customers[i].Name] = &c.Customers[i]
		for _, key := range c.Customers[i].Keys {
			t.customersByKey[key] = &c.Customers[i]
		}
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		if t.routesByHost[r.Host] == nil {
			t.routesByHost[r.Host] = make(map[string]*Route)
		}
		t.routesByHost[r.Host][r.Prefix] = r
	}
	return t
}

// Route returns the route of the host with the longest prefix that matches the
// path, or nil. The host may include a port.
func (t *Table) Route(host, path string) *Route {
	prefixes := t.routesByHost[hostName(host)]
	if prefixes == nil {
		return nil
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := prefixes[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// RouteByName returns the route with that name, or nil.
func (t *Table) RouteByName(name string) *Route {
	for i := range t.Config.Routes {
		if t.Config.Routes[i].Name == name {
			return &t.Config.Routes[i]
		}
	}
	return nil
}

// Customer returns the customer that owns the key, or nil.
func (t *Table) Customer(key string) *Customer { return t.customersByKey[key] }

// CustomerByName returns the customer with that name, or nil.
func (t *Table) CustomerByName(name string) *Customer { return t.customersByName[name] }

// Service returns the service with the given name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
