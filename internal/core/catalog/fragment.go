package catalog

// fragment holds the objects that one valid file specifies. It is immutable once
// parsed.
type fragment struct {
	file      string
	customers map[string]*customerSpec
	services  map[string]*serviceSpec
	zones     map[string]*zoneSpec
	upstreams map[string]*upstreamSpec
	// builtServices holds the services as built from this file alone. A merge
	// shares those that no other file changes.
	builtServices map[string]*Service
}

// listsKeys reports whether the file lists the hash of any key.
func (f *fragment) listsKeys() bool {
	for _, c := range f.customers {
		if len(c.KeyHashes) > 0 {
			return true
		}
	}
	return false
}

// customerSpec is a customer as written in a file. Rate, burst and services are
// its definition, which a single file contains. Any file may add key hashes.
type customerSpec struct {
	KeyHashes []string `json:"key_hashes,omitempty" validate:"max=1000,unique,dive,key_hash"`
	Rate      *float64 `json:"rate,omitempty" validate:"required_with=Burst Services,omitnil,gt=0,lte=10000000"`
	Burst     *float64 `json:"burst,omitempty" validate:"required_with=Rate Services,omitnil,gte=1,lte=10000000"`
	Services  []string `json:"services,omitempty" validate:"max=1000,unique,dive,name"`
}

func (c *customerSpec) isDefinition() bool { return c.Rate != nil }

// serviceSpec is a service as written in a file. One file contains the whole
// definition.
type serviceSpec struct {
	Shards        [][]replicaSpec `json:"shards" validate:"min=1,max=10000,dive,min=1,max=1000,dive"`
	Slots         *int            `json:"slots" validate:"required,gte=1,lte=10000"`
	Connections   *int            `json:"connections" validate:"required,gte=1,lte=100000"`
	ConnectCostMS *float64        `json:"connect_cost_ms,omitempty" validate:"omitnil,gte=0,lte=60000"`
	DeadlineMS    *float64        `json:"deadline_ms" validate:"required,gt=0,lte=600000"`
	Idempotent    bool            `json:"idempotent,omitempty"`
	Open          bool            `json:"open,omitempty"`
	SingleShard   bool            `json:"single_shard,omitempty"`
	Snapshots     bool            `json:"snapshots,omitempty"`
	ColdPermits   *int            `json:"cold_permits,omitempty" validate:"omitnil,gte=1,lte=10000"`
}

// replicaSpec is one upstream within a service's definition.
type replicaSpec struct {
	ID       string `json:"id" validate:"required,name"`
	Address  string `json:"address" validate:"required,ip_port"`
	Zone     string `json:"zone" validate:"required,name"`
	Draining bool   `json:"draining,omitempty"`
}

// zoneSpec is a zone as written in a file. Out is nil when the file only
// declares the zone.
type zoneSpec struct {
	Out *bool `json:"out,omitempty"`
}

// upstreamSpec changes the state of an upstream that a service defines.
type upstreamSpec struct {
	Draining *bool `json:"draining" validate:"required"`
}

// parseFile parses and validates one file on its own. The fragment is nil if
// there is any problem.
func parseFile(name string, content []byte) (*fragment, []Problem) {
	r := &reader{file: name}
	if !fileNamePattern.MatchString(name) {
		r.addProblem("", "the file name must be at most 128 letters, digits, '.', '_' or '-' and end in .json")
	}
	if len(content) > MaxFileSize {
		r.addProblem("", "the file is larger than 1 MiB")
		return nil, r.problems
	}
	root, err := parseTree(content)
	if err != nil {
		r.addProblem("", err.Error())
		return nil, r.problems
	}
	f := r.fragment(root)
	r.checkDuplicates(f)
	if len(r.problems) > 0 {
		return nil, r.problems
	}
	f.buildServices()
	return f, nil
}
