package leave

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
)

// Serve serves HTTP until lifetime ends. A graceful shutdown of the server stops
// accepting at once, but Serve does not return yet because requests may still be
// in flight.
func Serve(lifetime context.Context, server *http.Server, listener net.Listener) error {
	err := server.Serve(listener)
	if !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve %s: %w", listener.Addr(), err)
	}
	<-lifetime.Done()
	return nil
}
