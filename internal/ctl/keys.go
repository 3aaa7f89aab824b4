package ctl

import (
	"bufio"
	"context"
	"io"
	"strings"

	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/operatorkey"
	"github.com/cranberrystage/cranberrystage/internal/scramverifier"
	"github.com/pkg/errors"
)

func (c *command) keyNew(context.Context) error {
	key, err := operatorkey.New(c.Random)
	if err != nil {
		return err
	}
	if err := operatorkey.WriteFile(c.keyOut, key); err != nil {
		return err
	}
	return c.printJSON(config.Operator{Name: "NAME", PublicKey: operatorkey.Public(key)})
}

func (c *command) user(context.Context) error {
	password, err := firstLine(c.Stdin)
	if err != nil {
		return err
	}
	salt := make([]byte, scramverifier.SaltBytes)
	if _, err := io.ReadFull(c.Random, salt); err != nil {
		return errors.Wrap(err, "random bytes")
	}
	u, err := scramverifier.New(c.userName, password, salt, scramverifier.DefaultIterations)
	if err != nil {
		return err
	}
	return c.printJSON(u)
}

func firstLine(r io.Reader) (string, error) {
	line, err := bufio.NewReader(r).ReadString('\n')
	if err != nil && !errors.Is(err, io.EOF) {
		return "", errors.Wrap(err, "read password")
	}
	line = strings.TrimRight(line, "\r\n")
	if line == "" {
		return "", errors.New("the password on standard input is empty")
	}
	return line, nil
}
