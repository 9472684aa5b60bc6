package cli

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/celerydeck/celerydeck/deckconfig"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/transport/peer"
)

const (
	apiKeyBytes  = 32
	keyFileMode  = 0o600
	certFileMode = 0o644
	caCertFile   = "authority.crt"
	caKeyFile    = "authority.key"
)

// keysCmd groups the subcommands that create keys.
type keysCmd struct {
	Authority *keysAuthorityCmd `arg:"subcommand:authority" help:"make the authority that signs the keys of daemons"`
	Daemon    *keysDaemonCmd    `arg:"subcommand:daemon" help:"make the key and certificate of a daemon"`
	API       *keysAPICmd       `arg:"subcommand:api" help:"make a key of a customer or an operator and print it with its hash"`
	Hash      *keysHashCmd      `arg:"subcommand:hash" help:"print the hash of a key from standard input"`
}

// keysAuthorityCmd creates a certificate authority.
type keysAuthorityCmd struct {
	Dir   string        `arg:"--dir" default:"." help:"directory to write authority.crt and authority.key to"`
	Valid time.Duration `arg:"--valid" default:"8760h" help:"how long the authority and its certificates are valid"`
}

func (c *keysAuthorityCmd) run(_ context.Context, e *env) error {
	ca, err := peer.NewCA(e.Clock(), c.Valid)
	if err != nil {
		return err
	}
	cert, key, err := ca.PEM()
	if err != nil {
		return err
	}
	return e.writeKeyPair(c.Dir, "authority", cert, key)
}

// keysDaemonCmd creates a key and a certificate for a daemon. The certificate is signed by the CA whose files
// are in Dir.
type keysDaemonCmd struct {
	Name string `arg:"positional,required" help:"name of the daemon, as in the list of VMs"`
	Dir  string `arg:"--dir" default:"." help:"directory of the authority; the files of the daemon are written to it"`
}

func (c *keysDaemonCmd) run(_ context.Context, e *env) error {
	certPEM, err := os.ReadFile(filepath.Join(c.Dir, caCertFile))
	if err != nil {
		return err
	}
	keyPEM, err := os.ReadFile(filepath.Join(c.Dir, caKeyFile))
	if err != nil {
		return err
	}
	ca, err := peer.LoadCA(certPEM, keyPEM)
	if err != nil {
		return err
	}
	id, err := ca.Issue(state.DaemonID(c.Name))
	if err != nil {
		return err
	}
	cert, key, err := id.PEM()
	if err != nil {
		return err
	}
	return e.writeKeyPair(c.Dir, c.Name, cert, key)
}

// writtenFiles is the JSON output of keys authority and keys daemon.
type writtenFiles struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
}

// writeKeyPair writes a certificate and its private key to two files. It returns an error if either file exists.
func (e *env) writeKeyPair(dir, name string, cert, key []byte) error {
	files := writtenFiles{Certificate: filepath.Join(dir, name+".crt"), Key: filepath.Join(dir, name+".key")}
	if err := createFile(files.Key, key, keyFileMode); err != nil {
		return err
	}
	if err := createFile(files.Certificate, cert, certFileMode); err != nil {
		return err
	}
	if e.json() {
		return e.printJSON(files)
	}
	fmt.Fprintf(e.Stdout, "wrote %s and %s\n", files.Certificate, files.Key)
	return nil
}

// createFile writes a new file. It returns an error if the file exists.
func createFile(name string, data []byte, mode os.FileMode) error {
	f, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return err
	}
	if _, err := f.Write(data); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}

// keysAPICmd creates a random API key.
type keysAPICmd struct{}

// keyOutput is the JSON output of keys api and keys hash.
type keyOutput struct {
	Key  string `json:"key,omitempty"`
	Hash string `json:"hash"`
}

func (keysAPICmd) run(_ context.Context, e *env) error {
	var b [apiKeyBytes]byte
	if _, err := rand.Read(b[:]); err != nil {
		return err
	}
	key := base64.RawURLEncoding.EncodeToString(b[:])
	return e.printKey(keyOutput{Key: key, Hash: deckconfig.HashKey(key)})
}

// keysHashCmd hashes a key from standard input.
type keysHashCmd struct{}

func (keysHashCmd) run(_ context.Context, e *env) error {
	data, err := io.ReadAll(e.Stdin)
	if err != nil {
		return err
	}
	key := strings.TrimSpace(string(data))
	if key == "" {
		return usageError("standard input holds no key")
	}
	return e.printKey(keyOutput{Hash: deckconfig.HashKey(key)})
}

func (e *env) printKey(out keyOutput) error {
	if e.json() {
		return e.printJSON(out)
	}
	if out.Key != "" {
		fmt.Fprintf(e.Stdout, "key   %s\n", out.Key)
	}
	fmt.Fprintf(e.Stdout, "hash  %s\n", out.Hash)
	return nil
}
