// Package bench measures daemons of `ryecourse serve` against stand-in upstreams:
// the tail latency under stragglers, a frozen replica, a zone taken out of service
// and back, cold upstreams, and the tier's own cost. A script starts the processes;
// this package sends the load and changes the upstreams and the configuration
// files. The bench command uses it; it is not part of the product.
package bench

import (
	"encoding/json"
	"fmt"
	"os"

	"ryecourse.example/ryecourse/internal/standin/load"
)

// Config describes one run of the benchmark against one variant of the tier.
type Config struct {
	// Daemons are the callers' listeners, host:port.
	Daemons []string `json:"daemons"`
	// Controls are the control listeners of the upstreams' processes.
	Controls []string `json:"controls"`
	// PIDs are the process IDs of the daemons, whose processor time is measured.
	PIDs []int `json:"pids"`
	// ZoneFile is the configuration file of the zone that is taken out of service.
	ZoneFile string `json:"zone_file"`
	// Zone is that zone's name.
	Zone string `json:"zone"`
	// Frozen are patterns of the IDs of the upstreams to freeze.
	Frozen   []string      `json:"frozen"`
	Service  load.Service  `json:"service"`
	Customer load.Customer `json:"customer"`
	Seed     uint64        `json:"seed"`
}

// ReadConfig reads a Config from a JSON file.
func ReadConfig(file string) (*Config, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var c Config
	if err := json.Unmarshal(content, &c); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return &c, nil
}
