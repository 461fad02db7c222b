package gatewaydaemon

import (
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"ryecourse.example/ryecourse/platform"
)

// signals receives the process's signals. One that waits stands for all of its kind, so that
// none is dropped behind those of the other.
type signals struct{ stop, reload chan os.Signal }

func notifySignals() signals {
	s := signals{make(chan os.Signal, 1), make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

func (s signals) close() {
	signal.Stop(s.stop)
	signal.Stop(s.reload)
}

// waitForShutdown waits for a signal to stop or an error of a listener, and answers the requests
// that are in. It reloads the settings on a signal to reload, beside which it waits on, as their
// file may be slow.
func (d *Daemon) waitForShutdown(callers, peers *http.Server, signals signals, errs <-chan error) error {
	stopped := make(chan struct{})
	defer close(stopped)
	go func() {
		for {
			select {
			case <-signals.reload:
				d.reload()
			case <-stopped:
				return
			}
		}
	}()
	select {
	case err := <-errs:
		d.log.Failure("stop").Str("error", err.Error()).Send()
		d.shutdown(callers, peers)
		return err
	case <-signals.stop:
		d.shutdown(callers, peers)
		return nil
	}
}

// reload reads the settings again and logs whether the addresses of callers or
// of the store have changed. The running process keeps the old settings.
func (d *Daemon) reload() {
	s, err := platform.LoadSettings()
	if err != nil {
		d.log.Failure("reload").Str("error", err.Error()).Send()
		return
	}
	changed := s.CallerAddr != d.settings.CallerAddr || s.StoreAddr != d.settings.StoreAddr
	d.log.Event("reload").Bool("addresses_changed", changed).Send()
}
