package peer

import (
	"context"
	"crypto/hmac"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/reflect/protoreflect"

	"ryecourse.example/ryecourse/internal/connlimit"
	peerv1 "ryecourse.example/ryecourse/internal/gen/peer/v1"
	"ryecourse.example/ryecourse/internal/gen/peer/v1/peerv1connect"
	"ryecourse.example/ryecourse/internal/graceful"
)

const (
	// minCompressedBytes is the size from which a response is compressed. Below
	// it compression costs more than the bytes that it saves.
	minCompressedBytes = 8 << 10
	// readHeaderTimeout bounds the time in which a peer sends its headers.
	readHeaderTimeout = 2 * time.Second
	// readTimeout bounds the time in which a peer sends a whole message.
	readTimeout = 5 * time.Second
	// writeTimeout bounds the time from the end of the request's headers to the
	// end of the response.
	writeTimeout = 10 * time.Second
	// maxHeaderBytes bounds the headers of one message. The HTTP library allows
	// 4 KiB more.
	maxHeaderBytes = 8 << 10
	// maxConnections bounds the open connections. One more is closed at once.
	maxConnections = 512
)

// MaxConnections bounds the open connections.
const MaxConnections = maxConnections

// Refusal describes a message that was not handled.
type Refusal struct {
	Address   string
	Procedure string
	Reason    string
}

// Server is the RPC server for peers.
type Server struct {
	http     *http.Server
	open     atomic.Int64
	listener atomic.Pointer[graceful.Listener] // nil before Serve
}

// NewServer returns a server for the handler. Refused messages are reported to
// refused, which must be safe for concurrent use.
func NewServer(id Identity, h peerv1connect.PeerServiceHandler, refused func(Refusal)) *Server {
	g := &authenticator{id: id, wantProof: []byte(id.proof()), onRefused: refused}
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewPeerServiceHandler(h,
		connect.WithInterceptors(connect.UnaryInterceptorFunc(g.checkSender)),
		connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithCompressMinBytes(minCompressedBytes)))
	s := &Server{}
	s.http = &http.Server{
		Handler:           connlimit.Handler(g.checkProof(mux)),
		ConnContext:       connlimit.ConnContext,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       2 * idleTimeout, // The client ends idle connections first.
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         s.connState,
		ErrorLog:          log.New(io.Discard, "", 0), // The server's messages may quote requests.
	}
	return s
}

// Serve handles calls on the listener until Shutdown.
func (s *Server) Serve(ln net.Listener) error {
	l := graceful.NewListener(ln, graceful.Policy{HeadTimeout: readHeaderTimeout})
	s.listener.Store(l)
	err := s.http.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Shutdown waits for running calls until the context ends.
func (s *Server) Shutdown(ctx context.Context) error {
	l := s.listener.Load()
	if l == nil {
		return s.http.Shutdown(ctx)
	}
	_, err := l.Drain(ctx, time.Now())
	return errors.Join(err, s.http.Shutdown(ctx))
}

// connState counts the open connections and closes those beyond the limit.
func (s *Server) connState(c net.Conn, state http.ConnState) {
	s.listener.Load().OnState(c, state)
	switch state {
	case http.StateNew:
		if s.open.Add(1) > maxConnections {
			_ = c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		s.open.Add(-1)
	}
}

// authenticator accepts messages from daemons of the fleet only.
type authenticator struct {
	id        Identity
	wantProof []byte
	onRefused func(Refusal)
}

// checkProof refuses a request without the fleet's proof before its body is
// read, and closes its connection.
func (g *authenticator) checkProof(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if hmac.Equal([]byte(r.Header.Get(proofHeader)), g.wantProof) {
			next.ServeHTTP(w, r)
			return
		}
		g.onRefused(Refusal{Address: r.RemoteAddr, Procedure: procedureOf(r.URL.Path), Reason: "wrong proof"})
		w.Header().Set("Connection", "close")
		err := connect.NewError(connect.CodePermissionDenied, ErrNotInFleet)
		if connect.NewErrorWriter().IsSupported(r) {
			_ = connect.NewErrorWriter().Write(w, r, err)
			return
		}
		http.Error(w, err.Error(), http.StatusForbidden)
	})
}

// procedureOf returns the path if it is one of the protocol's. Other paths are
// not reported, since an unauthenticated sender's path may contain anything,
// such as a key.
func procedureOf(path string) string {
	name, _ := strings.CutPrefix(path, "/"+peerv1connect.PeerServiceName+"/")
	methods := peerv1.File_peer_v1_peer_proto.Services().ByName("PeerService").Methods()
	if methods.ByName(protoreflect.Name(name)) == nil {
		return "unknown path"
	}
	return path
}

// checkSender refuses a message that names no sender, another fleet or this VM.
func (g *authenticator) checkSender(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
		var sender *peerv1.Sender
		if m, ok := req.Any().(interface{ GetSender() *peerv1.Sender }); ok {
			sender = m.GetSender()
		}
		if reason := g.refusalReason(sender); reason != "" {
			g.onRefused(Refusal{Address: req.Peer().Addr, Procedure: req.Spec().Procedure, Reason: reason})
			return nil, connect.NewError(connect.CodePermissionDenied, errors.New(reason))
		}
		return next(ctx, req)
	}
}

// refusalReason returns why messages of the sender are refused, or "".
func (g *authenticator) refusalReason(s *peerv1.Sender) string {
	switch {
	case s.GetVm() == "":
		return "no sender is named"
	case s.GetFleet() != g.id.Fleet:
		return "the sender names another fleet"
	case s.GetVm() != g.id.VM:
		return ""
	case s.GetIncarnation() == g.id.Incarnation:
		return "the daemon called itself"
	}
	return "another process has this VM's ID"
}
