package rowrelay

import (
	"context"
	"hash/maphash"
	"sync"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/peer/rpc"
	"github.com/cranberrystage/cranberrystage/internal/platform"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// partBytes is the size of one part of a large response. It takes 26 ms on a link
	// of 10 Mbit/s, for which other messages to the same peer wait.
	partBytes = 32 << 10
	// partTimeout bounds the wait for one part.
	partTimeout = 500 * time.Millisecond
	// partAttempts is how often a part is requested.
	partAttempts = 2
	// maxContentBytes bounds the size of a response in parts.
	maxContentBytes = 16 << 20
	// maxContents bounds the contents that are kept for peers.
	maxContents = 8
	// rateSampleTime is how long a transfer is observed before its rate is known.
	rateSampleTime = 300 * time.Millisecond
	// maxTransferRest is how long the rest of a transfer may be expected to take
	// before it counts as slow.
	maxTransferRest = 2 * time.Second
)

// part is a piece of encoded rows that are too large for one message.
type part struct {
	// Content identifies the encoded rows at the proxy that sent the part.
	Content uint64 `msgpack:"c"`
	// Size is the size of the encoded rows, in bytes.
	Size int `msgpack:"n"`
	// Offset is the position of Data in the encoded rows.
	Offset int    `msgpack:"o"`
	Data   []byte `msgpack:"d"`
}

// content is the encoded rows of a response.
type content struct {
	id   uint64
	data []byte
}

// contents holds the encoded rows that peers are fetching, the least recently
// requested first. It is safe for concurrent use.
type contents struct {
	seed maphash.Seed

	mu   sync.Mutex
	kept []content
}

// put keeps data and returns its first part.
func (c *contents) put(data []byte) part {
	// A request for no content has 0.
	id := max(maphash.Bytes(c.seed, data), 1)
	if first, ok := c.part(id, 0); ok {
		return first
	}
	c.mu.Lock()
	c.kept = append(c.kept, content{id: id, data: data})
	if len(c.kept) > maxContents {
		c.kept = c.kept[1:]
	}
	c.mu.Unlock()
	return partOf(id, data, 0)
}

// part returns the part of a content at offset; ok is false if the content is not
// kept or has no such offset.
func (c *contents) part(id uint64, offset int) (p part, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, k := range c.kept {
		if k.id != id {
			continue
		}
		c.kept = append(append(c.kept[:i:i], c.kept[i+1:]...), k)
		if offset < 0 || offset >= len(k.data) {
			return part{}, false
		}
		return partOf(id, k.data, offset), true
	}
	return part{}, false
}

func partOf(id uint64, data []byte, offset int) part {
	return part{Content: id, Size: len(data), Offset: offset, Data: data[offset:min(offset+partBytes, len(data))]}
}

// bytesOf returns the approximate size of rows in a message.
func bytesOf(rows []platform.TableRow) int {
	size := 0
	for _, r := range rows {
		size += len(r.Key) + len(r.Value)
	}
	return size
}

// splitLarge replaces the rows of a response by their first part if they are too
// large for one message.
func (r *Relay) splitLarge(res *response) error {
	if bytesOf(res.Rows.Rows) <= partBytes {
		return nil
	}
	data, err := msgpack.Marshal(res.Rows.Rows)
	if err != nil {
		return errors.Wrap(err, "encode rows")
	}
	first := r.contents.put(data)
	res.Part, res.Rows.Rows = &first, nil
	return nil
}

// respondPart serves a request for a further part.
func (r *Relay) respondPart(q request) response {
	p, ok := r.contents.part(q.Content, q.Offset)
	if !ok {
		return response{Failure: failureUnavailable}
	}
	return response{Part: &p}
}

// fetch requests the parts after the first from the peer that sent it, and returns
// the rows. It has no limit for the whole transfer: a transfer that makes progress
// is never given up and started again. If it is slow, fetch calls onSlow unless nil.
func (r *Relay) fetch(ctx context.Context, p Peer, q request, first part, onSlow func()) ([]platform.TableRow, error) {
	if first.Size > maxContentBytes || !first.follows(nil, first) {
		return nil, errors.Wrapf(platform.ErrUnavailable, "%s sent an invalid part", p.VM)
	}
	start := r.Now()
	data := append(make([]byte, 0, first.Size), first.Data...)
	for len(data) < first.Size {
		next, err := r.requestPart(ctx, p, request{Table: q.Table, Content: first.Content, Offset: len(data)})
		if err != nil {
			r.log.Info("Could not fetch the rest of a response.", "peer", p.VM, "table", q.Table,
				"bytes", len(data), "size", first.Size, "took", r.Now().Sub(start), "error", err)
			return nil, err
		}
		if !next.follows(data, first) {
			return nil, errors.Wrapf(platform.ErrUnavailable, "%s sent an invalid part", p.VM)
		}
		data = append(data, next.Data...)
		received := len(data) - len(first.Data)
		if onSlow != nil && slowTransfer(received, first.Size-len(data), r.Now().Sub(start)) {
			onSlow()
		}
	}
	var rows []platform.TableRow
	if err := msgpack.Unmarshal(data, &rows); err != nil {
		return nil, errors.Wrapf(platform.ErrUnavailable, "decode rows of %s: %v", p.VM, err)
	}
	return rows, nil
}

// slowTransfer reports whether the rest of a transfer is expected to take long. took
// is the time in which the received bytes arrived.
func slowTransfer(received, rest int, took time.Duration) bool {
	if took < rateSampleTime || received <= 0 {
		return false
	}
	return took*time.Duration(rest)/time.Duration(received) > maxTransferRest
}

// follows reports whether p continues data, the first parts of the content of first.
func (p part) follows(data []byte, first part) bool {
	return p.Content == first.Content && p.Size == first.Size && p.Offset == len(data) &&
		len(p.Data) > 0 && len(data)+len(p.Data) <= first.Size
}

// requestPart requests one part from a peer.
func (r *Relay) requestPart(ctx context.Context, p Peer, q request) (part, error) {
	for range partAttempts {
		res, err := r.exchange.Call(ctx, partTimeout, q, p.Address)
		switch {
		case errors.Is(err, rpc.ErrTimeout):
			continue
		case err != nil:
			return part{}, errors.Wrap(platform.ErrUnavailable, err.Error())
		case res.Part == nil:
			return part{}, errors.Wrapf(platform.ErrUnavailable, "%s does not have the rows any more", p.VM)
		default:
			return *res.Part, nil
		}
	}
	r.backOffFrom(p, q, "a part of a response is missing")
	return part{}, errors.Wrapf(platform.ErrUnavailable, "%s did not send a part", p.VM)
}
