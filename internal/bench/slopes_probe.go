package bench

import (
	"context"
	"io"
	"log/slog"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/group"
	"github.com/cranberrystage/cranberrystage/internal/standin/dbserver"
	"github.com/pkg/errors"
)

// probeSizes are the numbers of status probes of the measurements.
var probeSizes = []int{250, 500, 1000, 2000}

// probeSlopes measures status probes over loopback against an emulated server.
// The processor time includes that of the emulated server and of a relay that
// counts the bytes; the bytes are those of both directions above TCP.
func probeSlopes(ctx context.Context) ([]Slope, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	server, err := dbserver.New(dbserver.Config{
		ID: "a", Primary: true, PrimaryID: "a", Listen: "127.0.0.1:0", Slots: 3, Connections: 20,
	}, slog.New(slog.DiscardHandler))
	if err != nil {
		return nil, err
	}
	go func() { _ = server.Run(ctx) }()
	relay, err := newRelay(server.Addr())
	if err != nil {
		return nil, err
	}
	go relay.run(ctx)
	client := group.NewClient(relay.listener.Addr().String(), "control", "", "vm@dc")
	defer client.Close()
	if _, err := client.Status(ctx); err != nil {
		return nil, err
	}
	var bytes, cpu []SlopePoint
	for _, n := range probeSizes {
		bytesBefore, cpuBefore := relay.bytes.Load(), processorTime()
		for range n {
			if _, err := client.Status(ctx); err != nil {
				return nil, err
			}
		}
		bytes = append(bytes, SlopePoint{n, float64(relay.bytes.Load() - bytesBefore)})
		cpu = append(cpu, SlopePoint{n, float64((processorTime() - cpuBefore).Microseconds())})
	}
	return []Slope{
		newSlope("status probe, bytes both ways", "B", "probes", bytes),
		newSlope("status probe, both ends and relay", "µs", "probes", cpu),
	}, nil
}

// processorTime returns the user and system time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// relay forwards connections to a server and counts the bytes in both directions.
type relay struct {
	listener net.Listener
	server   string
	bytes    atomic.Int64
}

func newRelay(server string) (*relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	return &relay{listener: l, server: server}, nil
}

func (r *relay) run(ctx context.Context) {
	context.AfterFunc(ctx, func() { _ = r.listener.Close() })
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", r.server)
		if err != nil {
			_ = client.Close()
			continue
		}
		go r.copyCounted(server, client)
		go r.copyCounted(client, server)
	}
}

func (r *relay) copyCounted(to, from net.Conn) {
	_, _ = io.Copy(io.MultiWriter(to, (*byteCounter)(&r.bytes)), from)
	_ = to.Close()
}

// byteCounter is a writer that counts the bytes written to it.
type byteCounter atomic.Int64

// Write implements io.Writer.
func (c *byteCounter) Write(p []byte) (int, error) {
	(*atomic.Int64)(c).Add(int64(len(p)))
	return len(p), nil
}
