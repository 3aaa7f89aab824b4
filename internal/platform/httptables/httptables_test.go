package httptables_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/platform"
	"github.com/cranberrystage/cranberrystage/internal/platform/httptables"
	"github.com/cranberrystage/cranberrystage/internal/platform/memory"
	"github.com/cranberrystage/cranberrystage/internal/platform/platformtest"
	"github.com/cranberrystage/cranberrystage/internal/standin/platformd"
	"gotest.tools/v3/assert"
)

func start(t *testing.T, timeout time.Duration) (*httptables.Client, *platformd.Server) {
	t.Helper()
	emulator := platformd.New()
	server := httptest.NewServer(emulator)
	t.Cleanup(server.Close)
	client, err := httptables.New(httptables.Options{BaseURL: server.URL, Timeout: timeout})
	assert.NilError(t, err)
	t.Cleanup(client.Close)
	return client, emulator
}

func TestContract(t *testing.T) {
	platformtest.Run(t, func(t *testing.T) platformtest.Client {
		client, emulator := start(t, time.Minute)
		return platformtest.Client{Tables: client, VMs: client, SetVMs: emulator.SetVMs}
	})
}

func oneRow(id string, version uint64) platform.Txn {
	return platform.Txn{
		ID:         id,
		Conditions: []platform.Condition{{Key: "k", Version: version}},
		Writes:     []platform.Write{{Key: "k", Value: []byte(id)}},
	}
}

func twoRows(id string, version uint64) platform.Txn {
	txn := oneRow(id, version)
	txn.Writes = append(txn.Writes, platform.Write{Key: "l", Value: []byte(id)})
	return txn
}

func TestOutcomeIsQueriedAfterLostResponse(t *testing.T) {
	for _, txn := range []func(string, uint64) platform.Txn{oneRow, twoRows} {
		client, emulator := start(t, time.Minute)
		emulator.Faults().Inject(memory.Fault{Kind: memory.FaultLoseAnswer, Calls: 1})
		assert.NilError(t, client.Commit(t.Context(), txn("a", 0)))
		assert.Equal(t, emulator.Requests().Outcomes.Value(), uint64(1))
		client.Close()
		emulator.Faults().Inject(memory.Fault{Kind: memory.FaultLoseAnswer, Calls: 1})
		assert.ErrorIs(t, client.Commit(t.Context(), txn("b", 0)), platform.ErrConflict)
		row, err := client.Get(t.Context(), "k")
		assert.NilError(t, err)
		assert.Equal(t, row.Version, uint64(1))
	}
}

func TestOutcomeIsUnknownIfAllResponsesAreLost(t *testing.T) {
	client, emulator := start(t, time.Minute)
	emulator.Faults().Inject(memory.Fault{Kind: memory.FaultLoseAnswer})
	assert.ErrorIs(t, client.Commit(t.Context(), twoRows("a", 0)), platform.ErrUnknown)
	_, err := client.Get(t.Context(), "k")
	assert.ErrorIs(t, err, platform.ErrUnavailable)
	emulator.Faults().Clear()
	assert.NilError(t, client.Commit(t.Context(), twoRows("a", 0)))
	row, err := client.Get(t.Context(), "k")
	assert.NilError(t, err)
	assert.Equal(t, row.Version, uint64(1))
}

func TestRequestsWhileDownHaveNoEffect(t *testing.T) {
	client, emulator := start(t, time.Minute)
	emulator.Faults().Inject(memory.Fault{Kind: memory.FaultDown, Calls: 2})
	assert.ErrorIs(t, client.Commit(t.Context(), oneRow("a", 0)), platform.ErrUnavailable)
	_, err := client.ListVMs(t.Context())
	assert.ErrorIs(t, err, platform.ErrUnavailable)
	_, err = client.Get(t.Context(), "k")
	assert.ErrorIs(t, err, platform.ErrNotFound)
}

// timeoutTransport sends each request, drops the response and returns a timeout.
type timeoutTransport struct{ http.Transport }

func (tt *timeoutTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := tt.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	_ = resp.Body.Close()
	return nil, context.DeadlineExceeded
}

func TestTimeoutAfterSendingIsUnknownOutcome(t *testing.T) {
	server := httptest.NewServer(platformd.New())
	t.Cleanup(server.Close)
	client, err := httptables.New(httptables.Options{BaseURL: server.URL, Transport: &timeoutTransport{}})
	assert.NilError(t, err)
	t.Cleanup(client.Close)
	assert.ErrorIs(t, client.Commit(t.Context(), oneRow("a", 0)), platform.ErrUnknown)
}

func TestRefusedConnectionIsUnavailable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	client, err := httptables.New(httptables.Options{BaseURL: "http://" + address})
	assert.NilError(t, err)
	assert.ErrorIs(t, client.Commit(t.Context(), oneRow("a", 0)), platform.ErrUnavailable)
}

// recordingTransport records the status code of each response.
type recordingTransport struct {
	http.Transport
	statuses []int
}

func (rt *recordingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := rt.Transport.RoundTrip(r)
	if err == nil {
		rt.statuses = append(rt.statuses, resp.StatusCode)
	}
	return resp, err
}

func TestUnchangedVMListIsNotSentAgain(t *testing.T) {
	emulator := platformd.New()
	server := httptest.NewServer(emulator)
	t.Cleanup(server.Close)
	transport := &recordingTransport{}
	client, err := httptables.New(httptables.Options{BaseURL: server.URL, Transport: transport})
	assert.NilError(t, err)
	t.Cleanup(client.Close)
	for i, want := range []int{200, 304, 200, 304} {
		if i%2 == 0 {
			emulator.SetVMs([]platform.ListedVM{{ID: "vm", PeerAddress: "10.0.0.1:1", Leaving: i > 0}})
		}
		vms, err := client.ListVMs(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, vms[0].Leaving, i > 1)
		assert.Equal(t, transport.statuses[i], want)
	}
}

func TestBadAddress(t *testing.T) {
	_, err := httptables.New(httptables.Options{BaseURL: "10.0.0.5"})
	assert.ErrorContains(t, err, "no scheme or host")
}
