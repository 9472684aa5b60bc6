package httpconn

import (
	"context"
	"net"
	"net/http"
	"time"
)

// DialWithReset returns a dial function for connections that end with a reset. A call that is
// given up must not reach an engine or the store later; after a response was read, nothing is left
// to deliver.
func DialWithReset(timeout time.Duration) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return (&net.Dialer{Timeout: timeout, Control: ResetOnClose}).DialContext
}

// Do sends a request. If it gets no response in time, the link may have gone silent: the idle
// connections are closed, so that the next call shows by its dial whether the link works. The
// pools are small, and a dial costs less than a call that is held back.
func Do(client *http.Client, req *http.Request) (*http.Response, error) {
	resp, err := client.Do(req)
	if err != nil && req.Context().Err() != nil {
		client.CloseIdleConnections()
	}
	return resp, err
}

// NewClient returns a client for the commands: it uses the proxy that the environment names, and
// checks response heads (see CheckHeads).
func NewClient() *http.Client {
	return &http.Client{Transport: CheckHeads(&http.Transport{Proxy: http.ProxyFromEnvironment})}
}
