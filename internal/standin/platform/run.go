package platform

import (
	"context"
	"log"
	"time"

	"github.com/valyala/fasthttp"
)

// pollInterval is the interval at which the folder and the VM file are read.
const pollInterval = 100 * time.Millisecond

// Run serves one replica on each address until ctx ends or a listener fails.
func Run(ctx context.Context, s *Store, addresses []string) error {
	failed := make(chan error, len(addresses))
	for _, address := range addresses {
		server := &fasthttp.Server{
			Handler:         NewReplica(s).Handler(),
			Name:            "standin-platform",
			CloseOnShutdown: true,
		}
		go func() { failed <- server.ListenAndServe(address) }()
	}
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-failed:
			return err
		case now := <-tick.C:
			if err := s.Poll(now); err != nil {
				log.Print(err)
			}
		}
	}
}
