// Package standin serves the stand-ins of outside systems over HTTP.
package standin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

const headerTimeout = 5 * time.Second

// Serve listens on host:port until ctx ends, then closes all connections.
func Serve(ctx context.Context, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
