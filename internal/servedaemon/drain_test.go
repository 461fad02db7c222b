package servedaemon

import (
	"net"
	"testing"
)

// TestStopWithoutDrainTimeClosesIdleConnections guards against a stop that fails, and cuts requests, once its drain time is used up.
func TestStopWithoutDrainTimeClosesIdleConnections(t *testing.T) {
	w := newTestEnv(t, 1)
	n := w.prepare("vm-1")
	n.Daemon.settings.Limits.DrainMs = 0
	n.run()
	n.waitReady()
	n.waitAnswer()
	c, err := net.Dial("tcp", n.caller)
	w.must(err)
	defer c.Close()
	_, err = c.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	w.must(err)
	_, err = c.Read(make([]byte, 4096))
	w.must(err)
	if err := n.stop(); err != nil {
		t.Errorf("the stop failed: %v", err)
	}
}
