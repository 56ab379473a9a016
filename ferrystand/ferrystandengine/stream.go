package ferrystandengine

import (
	"bytes"
	"context"
	"encoding/binary"
	"net/http"

	"github.com/go-chi/chi/v5"

	"cactusferry.dev/ferry/ferryengine"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
)

// stream is the engine's state of one stream.
type stream struct {
	epoch  ferryid.Epoch
	cancel context.CancelFunc
	// cancelled is the highest cancelled epoch; no layer is applied for it or earlier ones.
	cancelled ferryid.Epoch
	ran       bool
	layers    ferryid.LayerRange
	// kv is the KV cache: one value per history element and layer.
	kv   []uint64
	left int
}

func (st *stream) positions() int {
	if st.layers.Len() == 0 {
		return 0
	}
	return len(st.kv) / st.layers.Len()
}

// streams contains at most maxStreams streams; the oldest is evicted first.
type streams struct {
	byID  map[ferryid.StreamID]*stream
	order []ferryid.StreamID
	// evicted is set once a stream was evicted or dropped; from then on an unknown stream may have run here.
	evicted bool
}

func newStreams() streams {
	return streams{byID: map[ferryid.StreamID]*stream{}}
}

func (ss *streams) get(id ferryid.StreamID) *stream {
	st, ok := ss.byID[id]
	if ok {
		return st
	}
	if len(ss.order) >= maxStreams {
		delete(ss.byID, ss.order[0])
		ss.order = ss.order[1:]
		ss.evicted = true
	}
	st = &stream{}
	ss.byID[id] = st
	ss.order = append(ss.order, id)
	return st
}

func streamID(r *http.Request) ferryid.StreamID {
	return ferryid.StreamID(chi.URLParam(r, "stream"))
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	var req cancelRequest
	if !readJSON(w, r, &req) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.streams.byID[streamID(r)]; !ok && e.streams.evicted {
		ferryoutcome.New(ferryoutcome.KindNotFound, ferryoutcome.Unknown, "the stream may have been forgotten").Write(w)
		return
	}
	st := e.streams.get(streamID(r))
	ignored := e.faults.LateFromOldEpoch && st.cancel != nil
	if st.epoch <= req.Epoch && !ignored {
		st.epoch, st.cancelled = req.Epoch, req.Epoch
		if st.cancel != nil {
			st.cancel()
		}
	}
	writeJSON(w, ferryengine.CancelResult{Incarnation: e.incarnation, Ran: st.ran || ignored})
}

type cancelRequest ferryengine.CancelRequest

// Check returns nil, since every epoch is valid.
func (*cancelRequest) Check() error { return nil }

func (e *Engine) handleExport(w http.ResponseWriter, r *http.Request) {
	id := streamID(r)
	e.mu.Lock()
	st, ok := e.streams.byID[id]
	if !ok || st.positions() == 0 {
		e.mu.Unlock()
		ferryoutcome.New(ferryoutcome.KindNotFound, ferryoutcome.Ran, "no stream %s here", id).Write(w)
		return
	}
	kv := ferryengine.KV{Stream: id, Layers: st.layers, Positions: st.positions(), Data: encodeKV(st.kv)}
	e.mu.Unlock()
	writeJSON(w, kv)
}

func (e *Engine) handleImport(w http.ResponseWriter, r *http.Request) {
	var kv ferryengine.KV
	if !readJSON(w, r, &kv) {
		return
	}
	if kv.Stream != streamID(r) || len(kv.Data) != kv.Positions*kv.Layers.Len()*8 {
		ferryoutcome.New(ferryoutcome.KindBadRequest, ferryoutcome.NotRun, "the data does not fit the stream's name, positions and layers").Write(w)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving || e.faults.Leaving || e.faults.Empty {
		ferryoutcome.New(ferryoutcome.KindDraining, ferryoutcome.NotRun, "the engine takes no KV cache").Write(w)
		return
	}
	st := e.streams.get(kv.Stream)
	st.layers = kv.Layers
	st.kv = decodeKV(kv.Data)
	w.WriteHeader(http.StatusNoContent)
}

func encodeKV(kv []uint64) []byte {
	var b bytes.Buffer
	_ = binary.Write(&b, binary.LittleEndian, kv)
	return b.Bytes()
}

func decodeKV(b []byte) []uint64 {
	kv := make([]uint64, len(b)/8)
	_, _ = binary.Decode(b, binary.LittleEndian, kv)
	return kv
}
