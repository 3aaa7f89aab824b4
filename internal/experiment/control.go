package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/platform/memory"
	"github.com/cranberrystage/cranberrystage/internal/standin/dbserver"
	"github.com/cranberrystage/cranberrystage/internal/statusapi"
	"github.com/pkg/errors"
)

// controlTimeout bounds one request to the emulator or a proxy's admin address.
const controlTimeout = 3 * time.Second

// send sends body as JSON and decodes the response into out, unless out is nil.
func send(ctx context.Context, method, url string, body, out any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	text, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(text))
	if err != nil {
		return errors.Wrap(err, "control request")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "control request")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode/100 != 2 {
		return errors.Errorf("%s %s: HTTP %d", method, url, resp.StatusCode)
	}
	if out == nil {
		return nil
	}
	return errors.Wrap(json.NewDecoder(resp.Body).Decode(out), "decode response")
}

func (s Server) url(what string) string {
	return "http://" + s.Control + "/servers/" + string(s.ID) + "/" + what
}

// setFaults replaces the server's faults.
func (s Server) setFaults(ctx context.Context, f dbserver.Faults) error {
	return send(ctx, http.MethodPut, s.url("faults"), f, nil)
}

// silenceConnections makes the server permanently stop answering on all
// connections that are open now.
func (s Server) silenceConnections(ctx context.Context) error {
	return send(ctx, http.MethodPost, s.url("silence"), nil, nil)
}

// stats returns the server's counters.
func (s Server) stats(ctx context.Context) (dbserver.Stats, error) {
	var out dbserver.Stats
	err := send(ctx, http.MethodGet, s.url("stats"), nil, &out)
	return out, err
}

// setPlatformFault replaces the platform's fault.
func (s *SetUp) setPlatformFault(ctx context.Context, f memory.Fault) error {
	return send(ctx, http.MethodPut, "http://"+s.Platform+"/faults", f, nil)
}

// status fetches the proxy's status from its admin address.
func (p Proxy) status(ctx context.Context) (statusapi.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	return statusapi.Fetch(ctx, http.DefaultClient, p.Admin)
}
