package routetable

import "testing"

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	table := NewTable(Config{Routes: []Route{
		{Name: "root", Host: "a.example", Prefix: "/"},
		{Name: "x", Host: "a.example", Prefix: "/x/"},
		{Name: "xy", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}})
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "xy"},
		{"a.example", "/x/y/", "xy"},
		{"a.example", "/x/y", "x"},
		{"a.example", "/xy/", "root"},
		{"A.Example:8080", "/x/1", "x"},
		{"b.example", "/x/1", "other"},
		{"b.example", "/y/", ""},
		{"c.example", "/x/", ""},
		{"a.example", "x", ""},
		{"a.example", "/x/%2e%2e/y", "x"},
	} {
		got := ""
		if r := table.Route(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("route of %s%s is %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

func TestCustomerByKey(t *testing.T) {
	table := NewTable(Config{Customers: []Customer{{Name: "one", Keys: []string{"k1", "k2"}}, {Name: "two", Keys: []string{"k3"}}}})
	for key, want := range map[string]string{"k1": "one", "k2": "one", "k3": "two"} {
		if c := table.Customer(key); c == nil || c.Name != want {
			t.Errorf("customer of %s is %v, want %s", key, c, want)
		}
	}
	if table.Customer("") != nil || table.Customer("k4") != nil {
		t.Error("an unknown key has a customer")
	}
}
