package app

import (
	"context"
	"os"
	"sync/atomic"
	"time"

	"go.uber.org/fx"
	"k8s.io/klog/v2"

	"github.com/celerydeck/celerydeck/internal/metrics"
	"github.com/celerydeck/celerydeck/internal/transport/peer"
)

// keyPollInterval is the interval between checks of the key files.
const keyPollInterval = 5 * time.Second

// recorderRef refers to the metrics recorder, which is stored in it after construction. It
// breaks a cycle of constructors: the keyring counts refused peers at the recorder, the
// recorder takes labels from the configuration, and the configuration arrives over
// connections that the keyring secures.
type recorderRef struct {
	recorder atomic.Pointer[metrics.Recorder]
}

func newRecorderRef() *recorderRef { return &recorderRef{} }

// peerRefused counts a refused peer by reason. It counts nothing until the recorder is set.
func (ref *recorderRef) peerRefused(reason peer.Refusal) {
	if r := ref.recorder.Load(); r != nil {
		r.PeerRefused(string(reason))
	}
}

func newKeyring(lc fx.Lifecycle, s Settings, id peer.Identity, ref *recorderRef) *peer.Keyring {
	keys := peer.NewKeyring(id, ref.peerRefused)
	if s.CertFile == "" {
		return keys
	}
	ctx, cancel := context.WithCancel(context.Background())
	w := &keyWatcher{settings: s, keys: keys, loadedTimes: modTimes(s)}
	lc.Append(fx.StartStopHook(func() { go w.run(ctx) }, cancel))
	return keys
}

// keyWatcher reloads the keys when their files change.
type keyWatcher struct {
	settings    Settings
	keys        *peer.Keyring
	loadedTimes keyFileTimes
}

// keyFileTimes holds the modification times of the certificate, key and CA files.
type keyFileTimes [3]time.Time

func modTimes(s Settings) keyFileTimes {
	var out keyFileTimes
	for i, name := range []string{s.CertFile, s.KeyFile, s.CAFile} {
		if info, err := os.Stat(name); err == nil {
			out[i] = info.ModTime()
		}
	}
	return out
}

func (w *keyWatcher) run(ctx context.Context) {
	ticker := time.NewTicker(keyPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			w.reloadIfChanged()
		case <-ctx.Done():
			return
		}
	}
}

// reloadIfChanged loads the key files if they have changed. If certificate and key do not
// match, for example while the files are being written, the current keys stay in use and
// the next check retries.
func (w *keyWatcher) reloadIfChanged() {
	current := modTimes(w.settings)
	if current == w.loadedTimes {
		return
	}
	id, err := w.settings.Identity()
	if err != nil {
		klog.ErrorS(err, "New keys can't be used", "daemon", w.settings.ID, "step", "rotate keys")
		return
	}
	w.keys.Rotate(id)
	w.loadedTimes = current
	klog.InfoS("Keys replaced", "daemon", w.settings.ID)
}
