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

// keyPollInterval is the period in which the key files are looked at.
const keyPollInterval = 5 * time.Second

// lateRecorder breaks the cycle between the keyring, which counts refused peers,
// and the recorder, whose labels come from the configuration that peers bring.
type lateRecorder struct {
	recorder atomic.Pointer[metrics.Recorder]
}

func newLateRecorder() *lateRecorder { return &lateRecorder{} }

// peerRefused counts a refusal once there is a recorder.
func (l *lateRecorder) peerRefused(reason peer.Refusal) {
	if r := l.recorder.Load(); r != nil {
		r.PeerRefused(string(reason))
	}
}

func newKeyring(lc fx.Lifecycle, s Settings, id peer.Identity, late *lateRecorder) *peer.Keyring {
	keys := peer.NewKeyring(id, late.peerRefused)
	if s.CertFile == "" {
		return keys
	}
	ctx, cancel := context.WithCancel(context.Background())
	w := &keyWatcher{settings: s, keys: keys, seen: stamp(s)}
	lc.Append(fx.StartStopHook(func() { go w.run(ctx) }, cancel))
	return keys
}

// keyWatcher replaces the keys when their files change.
type keyWatcher struct {
	settings Settings
	keys     *peer.Keyring
	seen     keyStamp
}

// keyStamp tells versions of the key files apart.
type keyStamp [3]time.Time

func stamp(s Settings) keyStamp {
	var out keyStamp
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
			w.look()
		case <-ctx.Done():
			return
		}
	}
}

// look loads the files when they have changed. Files that do not fit together are
// tried again, since they may be half written; the old keys stay until then.
func (w *keyWatcher) look() {
	now := stamp(w.settings)
	if now == w.seen {
		return
	}
	id, err := w.settings.Identity()
	if err != nil {
		klog.ErrorS(err, "New keys can't be used", "daemon", w.settings.ID, "step", "rotate keys")
		return
	}
	w.keys.Rotate(id)
	w.seen = now
	klog.InfoS("Keys replaced", "daemon", w.settings.ID)
}
