package rowrelay

import (
	"bytes"
	"hash/maphash"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/platform"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
)

func TestLargeRowsArriveInPartsOfBoundedSize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, "x", "x")
		value := bytes.Repeat([]byte("route "), 100_000)
		s.store.Put("own", "config", value)
		s.paths[1].setDown(true)
		rows, err := s.relays[1].ReadTable(t.Context(), "own")
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(rows.Rows[0].Value, value))
		assert.Equal(t, rows.Rows[0].Key, "config")
		largest := s.net.LargestMessage()
		assert.Assert(t, largest >= partBytes && largest < partBytes+1000, "%d", largest)
	})
}

func TestSmallRowsArriveInOneMessage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, "x")
		s.store.Put("own", "config", make([]byte, partBytes/2))
		res := s.relays[0].respond(t.Context(), request{Table: "own", AcceptsParts: true})
		assert.Assert(t, res.Part == nil)
		assert.Equal(t, len(res.Rows.Rows), 1)
	})
}

// A proxy of an earlier release does not set AcceptsParts.
func TestPeerThatDoesNotAcceptPartsGetsWholeRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, "x")
		s.store.Put("own", "config", make([]byte, 10*partBytes))
		res := s.relays[0].respond(t.Context(), request{Table: "own"})
		assert.Assert(t, res.Part == nil)
		assert.Equal(t, len(res.Rows.Rows[0].Value), 10*partBytes)
	})
}

func TestTransferContinuesAtTheStoreWhenThePeerRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLinkedFleet(t, fastLink, slowLink)
		f.putRoutes("1", 1000)
		time.Sleep(5 * time.Second)
		at := f.putRoutes("2", routesBytes)
		time.Sleep(300 * time.Millisecond)
		reader := f.proxies[0].relay
		reader.contents.mu.Lock()
		assert.Assert(t, len(reader.contents.kept) > 0)
		reader.contents.kept = nil
		reader.contents.mu.Unlock()
		time.Sleep(20 * time.Second)
		f.checkArrival(t, "2", at)
	})
}

func TestInvalidPartsAreRejected(t *testing.T) {
	first := part{Content: 7, Size: 10, Data: []byte("0123")}
	valid := part{Content: 7, Size: 10, Offset: 4, Data: []byte("456789")}
	assert.Assert(t, first.follows(nil, first))
	assert.Assert(t, valid.follows(first.Data, first))
	for name, change := range map[string]func(p *part){
		"other content": func(p *part) { p.Content = 8 },
		"other size":    func(p *part) { p.Size = 11 },
		"gap":           func(p *part) { p.Offset = 5 },
		"overlap":       func(p *part) { p.Offset = 3 },
		"no data":       func(p *part) { p.Data = nil },
		"too long":      func(p *part) { p.Data = []byte("4567890") },
	} {
		p := valid
		change(&p)
		assert.Assert(t, !p.follows(first.Data, first), name)
	}
}

func TestTransferIsSlowByItsExpectedRest(t *testing.T) {
	const size = 930_000
	assert.Assert(t, !slowTransfer(partBytes, size-partBytes, 100*time.Millisecond), "too early to tell")
	assert.Assert(t, !slowTransfer(200_000, size-200_000, 320*time.Millisecond), "1.2 s left")
	assert.Assert(t, slowTransfer(partBytes, size-partBytes, 360*time.Millisecond), "10 s left")
	assert.Assert(t, !slowTransfer(size-10, 10, 10*time.Second), "nearly complete")
	assert.Assert(t, !slowTransfer(0, size, time.Second), "nothing received")
}

func TestContentsKeepsTheMostRecentlyRequested(t *testing.T) {
	c := contents{seed: maphash.MakeSeed()}
	oldest := c.put([]byte("oldest"))
	for i := range maxContents - 1 {
		c.put([]byte{byte(i)})
	}
	_, ok := c.part(oldest.Content, 0)
	assert.Assert(t, ok)
	second := c.put([]byte{0})
	for i := range maxContents - 1 {
		c.put([]byte{byte(100 + i)})
	}
	_, ok = c.part(oldest.Content, 0)
	assert.Assert(t, !ok)
	_, ok = c.part(second.Content, 0)
	assert.Assert(t, ok)
	_, ok = c.part(second.Content, 1)
	assert.Assert(t, !ok)
}

func FuzzResponseOfPeer(f *testing.F) {
	for _, res := range []response{
		{Rows: platform.Rows{Version: 3, Rows: []platform.TableRow{{Key: "k", Value: []byte("v"), Version: 3}}}},
		{Part: &part{Content: 7, Size: 10, Data: []byte("0123")}},
		{Failure: failureHistoryLost},
	} {
		data, err := msgpack.Marshal(res)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		synctest.Test(t, func(t *testing.T) {
			var res response
			if msgpack.Unmarshal(data, &res) != nil || res.Part == nil {
				return
			}
			s := newCluster(t, "x")
			_, err := s.relays[0].fetch(t.Context(), Peer{VM: "gone", Address: "gone"}, request{Table: "own"}, *res.Part, nil)
			assert.Assert(t, err == nil || errors.Is(err, platform.ErrUnavailable), "%v", err)
		})
	})
}
