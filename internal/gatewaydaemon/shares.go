package gatewaydaemon

import (
	"reflect"
	"slices"
	"time"

	"ryecourse.example/ryecourse/internal/core/connshare"
	"ryecourse.example/ryecourse/internal/core/metadata"
	"ryecourse.example/ryecourse/internal/core/retrybudget"
	"ryecourse.example/ryecourse/internal/core/routetable"
	"ryecourse.example/ryecourse/internal/fleetrpc"
)

// connectionRank names the order of the VMs by which connections are divided.
const connectionRank = "connections"

// share divides the connections to upstreams and the extra attempts among the VMs.
func (d *Daemon) share(v *metadata.View) {
	d.sharesMu.Lock()
	defer d.sharesMu.Unlock()
	size, direct := *d.size.Load(), calledDirectly(v.Table)
	budgets := map[string]retrybudget.Limit{}
	for service := range direct {
		budgets[service] = d.budgetLimit(size, false)
	}
	d.budget.SetLimits(d.budgetLimit(size, true), budgets)

	f := connshare.Fleet{
		Self: d.settings.PeerAddr.String(), Zone: d.settings.Zone, VMs: size.VMs, ByZone: d.exchanger.ZoneSizes(),
		Executors: size.Executors, IsExecutor: size.IsExecutor, Rank: d.exchanger.Rank(connectionRank),
	}
	limits, unshared := map[string]int{}, map[string]bool{}
	known := d.shares.take(f)
	for service, list := range v.Upstreams {
		replicas := usableReplicas(v, list)
		shares := d.shares.divide(known, service, division{replicas: replicas, limit: maxConnections(v, service), isShard: !direct[service]})
		for _, r := range replicas {
			limits[r.ID] = shares[r.ID]
			if limits[r.ID] == 0 {
				unshared[r.ID] = true
			}
		}
	}
	d.pools.Update(v.Upstreams, func(u routetable.Upstream) int {
		if n, ok := limits[u.ID]; ok {
			return n
		}
		return 1 // it drains
	})
	d.picker.SetUnshared(unshared)
	d.unshared.Store(int64(len(unshared)))
}

// shareCache holds the division of each service's connections, since views change far
// more often than the instances of one service.
type shareCache struct {
	fleet     connshare.Fleet
	divisions map[string]division
}

// division is the result for one service and what it follows from.
type division struct {
	replicas []connshare.Replica
	limit    int
	isShard  bool
	shares   map[string]int
}

// take empties the cache for a new view and returns the divisions that still hold.
func (c *shareCache) take(f connshare.Fleet) map[string]division {
	known := c.divisions
	if !reflect.DeepEqual(f, c.fleet) {
		known = nil
	}
	c.fleet, c.divisions = f, map[string]division{}
	return known
}

// divide returns the shares of a service.
func (c *shareCache) divide(known map[string]division, service string, d division) map[string]int {
	if old, ok := known[service]; ok && old.limit == d.limit && old.isShard == d.isShard && slices.Equal(old.replicas, d.replicas) {
		d.shares = old.shares
	} else {
		d.shares = c.fleet.Shares(d.replicas, d.limit, d.isShard)
	}
	c.divisions[service] = d
	return d.shares
}

// usableReplicas returns the instances that may be sent requests.
func usableReplicas(v *metadata.View, list []routetable.Upstream) []connshare.Replica {
	var out []connshare.Replica
	for _, u := range list {
		if !u.Draining && !v.Evacuated[u.Zone] {
			out = append(out, connshare.Replica{ID: u.ID, Zone: u.Zone})
		}
	}
	return out
}

// maxConnections returns the connections that each upstream of a service accepts; 0 if the
// configuration doesn't name the service yet.
func maxConnections(v *metadata.View, service string) int {
	if s := v.Table.Service(service); s != nil {
		return s.MaxConnections
	}
	return 0
}

// calledDirectly returns the services that routes without shards name, and no route with
// shards. Each VM calls them itself.
func calledDirectly(t *routetable.Table) map[string]bool {
	out := map[string]bool{}
	for _, r := range t.Config.Routes {
		for _, target := range r.Targets {
			out[target.Service] = true
		}
	}
	for _, r := range t.Config.Routes {
		if r.Sharded != nil {
			for _, service := range r.Sharded.Shards {
				delete(out, service)
			}
		}
	}
	return out
}

// executorsFraction is the fraction of the limits on extra attempts that the executors
// share. The rest is for the VMs that run a query without one.
const executorsFraction = 0.6

// vmFraction returns this VM's fraction of limits that hold for all VMs together. spare is
// the number of VMs that may join before this one discovers them. isShard is set for
// services that executors call for the others.
func vmFraction(size fleetrpc.Size, spare int, isShard bool) float64 {
	if size.Executors == 0 || !isShard {
		return 1 / float64(size.VMs+spare)
	}
	fraction := (1 - executorsFraction) / float64(size.VMs+spare)
	if size.IsExecutor {
		fraction += executorsFraction / float64(size.Executors+1)
	}
	return fraction
}

// budgetLimit returns this VM's part of the users' retry slack of a service. In a large
// fleet a part of it is earned with time, as the VMs have few requests of their own.
func (d *Daemon) budgetLimit(size fleetrpc.Size, isShard bool) retrybudget.Limit {
	part := d.settings.Bounds.RetrySlack * vmFraction(size, spareVMs, isShard)
	if size.Executors == 0 {
		return retrybudget.Limit{Burst: part * retrySlackFraction}
	}
	earned := part * retrySlackEarnedFraction
	return retrybudget.Limit{
		Burst:     part*retrySlackFraction - earned,
		PerSecond: earned / max(d.settings.Bounds.RetryWindow, time.Second).Seconds(),
	}
}
