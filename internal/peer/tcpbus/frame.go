package tcpbus

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// frameVersion is the version of the frame layout.
	frameVersion = 1
	// prefixSize is the size of the length prefix, in bytes.
	prefixSize = 4
	// frameFields is the number of fields of a frame.
	frameFields = 4
	// maxTopicBytes is the length of the longest topic, in bytes.
	maxTopicBytes = 64
)

// frame is one message. It is sent as a big-endian length followed by a msgpack
// array of version, topic, id and payload.
type frame struct {
	topic   string
	id      uuid.UUID
	payload []byte
}

// encode returns f with its length prefix, or the error PeerFrameTooLarge if it
// exceeds limit bytes.
func (f frame) encode(limit int) ([]byte, error) {
	var buf bytes.Buffer
	buf.Write(make([]byte, prefixSize))
	enc := msgpack.NewEncoder(&buf)
	err := firstError(
		func() error { return enc.EncodeArrayLen(frameFields) },
		func() error { return enc.EncodeUint(frameVersion) },
		func() error { return enc.EncodeString(f.topic) },
		func() error { return enc.EncodeBytes(f.id[:]) },
		func() error { return enc.EncodeBytes(f.payload) },
	)
	if err != nil {
		return nil, errors.Wrap(err, "encode frame")
	}
	size := buf.Len() - prefixSize
	if size > limit {
		return nil, tooLarge(size, limit)
	}
	wire := buf.Bytes()
	binary.BigEndian.PutUint32(wire, uint32(size))
	return wire, nil
}

// readFrame reads one frame. It returns io.EOF if r ends before the frame, the
// error PeerFrameTooLarge if the frame exceeds limit bytes, and PeerVersion if
// it has an unknown layout.
func readFrame(r io.Reader, limit int) (frame, error) {
	var prefix [prefixSize]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		if err == io.EOF {
			return frame{}, io.EOF
		}
		return frame{}, errors.Wrap(err, "read frame length")
	}
	size := int64(binary.BigEndian.Uint32(prefix[:]))
	if size > int64(limit) {
		return frame{}, tooLarge(int(size), limit)
	}
	var body bytes.Buffer
	if _, err := io.CopyN(&body, r, size); err != nil {
		return frame{}, errors.Wrap(err, "read frame")
	}
	return decodeFrame(body.Bytes())
}

// decodeFrame decodes a frame without its length prefix.
func decodeFrame(body []byte) (frame, error) {
	dec := msgpack.NewDecoder(bytes.NewReader(body))
	fields, err := dec.DecodeArrayLen()
	if err != nil {
		return frame{}, errors.Wrap(err, "frame header")
	}
	if fields < 1 {
		return frame{}, errors.New("frame without version")
	}
	version, err := dec.DecodeUint64()
	if err != nil {
		return frame{}, errors.Wrap(err, "frame version")
	}
	if version != frameVersion || fields != frameFields {
		detail := fmt.Sprintf("version %d with %d fields", version, fields)
		return frame{}, codes.New(codes.PeerVersion, codes.NotRun, 0, detail)
	}
	if err := checkLengths(body); err != nil {
		return frame{}, errors.Wrap(err, "frame fields")
	}
	return decodeFields(dec)
}

// checkLengths checks that body contains as many bytes as its length fields
// state. The codec would allocate memory for a stated length before reading.
func checkLengths(body []byte) error {
	return msgpack.NewDecoder(bytes.NewReader(body)).Skip()
}

// decodeFields decodes topic, id and payload.
func decodeFields(dec *msgpack.Decoder) (frame, error) {
	topic, err := dec.DecodeString()
	if err != nil {
		return frame{}, errors.Wrap(err, "frame topic")
	}
	if len(topic) > maxTopicBytes {
		return frame{}, errors.Errorf("frame topic of %d bytes is too long", len(topic))
	}
	rawID, err := dec.DecodeBytes()
	if err != nil {
		return frame{}, errors.Wrap(err, "frame id")
	}
	id, err := uuid.FromBytes(rawID)
	if err != nil {
		return frame{}, errors.Wrap(err, "frame id")
	}
	payload, err := dec.DecodeBytes()
	if err != nil {
		return frame{}, errors.Wrap(err, "frame payload")
	}
	return frame{topic: topic, id: id, payload: payload}, nil
}

func tooLarge(size, limit int) error {
	detail := fmt.Sprintf("%d bytes, limit %d", size, limit)
	return codes.New(codes.PeerFrameTooLarge, codes.NotRun, 0, detail)
}

// firstError runs steps in order and returns the first error.
func firstError(steps ...func() error) error {
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}
