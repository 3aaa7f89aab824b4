//go:build review

package main

import (
	"bufio"
	"bytes"
	"errors"
	"strings"
)

// errTooLong means that a line exceeds the protocol's limit of a message.
var errTooLong = errors.New("message longer than 1 MiB")

const maxMessage = 1 << 20

// readMessage returns the next line without its terminator, which is CR LF as the
// protocol page says. Any other byte belongs to the line.
func readMessage(r *bufio.Reader) (string, error) {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		line = append(line, part...)
		if err != nil && err != bufio.ErrBufferFull {
			return "", err
		}
		if len(line) > maxMessage+2 {
			return "", errTooLong
		}
		if bytes.HasSuffix(line, []byte("\r\n")) {
			return string(line[:len(line)-2]), nil
		}
	}
}

// word returns the first field of a line and the rest behind the blank.
func word(line string) (first, rest string) {
	first, rest, _ = strings.Cut(line, " ")
	return first, rest
}
