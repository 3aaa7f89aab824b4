package scramverifier

import (
	"testing"

	"github.com/xdg-go/scram"
	"gotest.tools/v3/assert"
)

// login runs a SCRAM exchange for the password against a verifier of "shop-demo".
func login(t *testing.T, password string) error {
	t.Helper()
	user, err := New("shop", "shop-demo", []byte("0123456789abcdef"), MinIterations)
	assert.NilError(t, err)
	lookup := func(string) (scram.StoredCredentials, error) { return Credentials(user) }
	server, err := scram.SHA256.NewServer(lookup)
	assert.NilError(t, err)
	client, err := scram.SHA256.NewClient("shop", password, "")
	assert.NilError(t, err)

	clientSide, serverSide := client.NewConversation(), server.NewConversation()
	message := ""
	for !clientSide.Done() {
		if message, err = clientSide.Step(message); err != nil {
			return err
		}
		if serverSide.Done() {
			break
		}
		if message, err = serverSide.Step(message); err != nil {
			return err
		}
	}
	return nil
}

func TestVerifierAcceptsOnlyItsPassword(t *testing.T) {
	assert.NilError(t, login(t, "shop-demo"))
	assert.Assert(t, login(t, "shop-demo2") != nil)
}

func TestCredentialsRejectsShortKey(t *testing.T) {
	user, err := New("shop", "x", []byte("salt"), MinIterations)
	assert.NilError(t, err)
	user.StoredKey = "c2hvcnQ="
	_, err = Credentials(user)
	assert.ErrorContains(t, err, "storedKey: want 32 bytes")
}
