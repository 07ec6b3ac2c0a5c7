package follower

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/record"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// maxItemBytes is the largest size of the items of an answer before compression.
const maxItemBytes = 16 << 20

// request asks for the changes of the instance list.
type request struct {
	Since   unit.Revision `cbor:"1,keyasint,omitempty"`
	Prepare bool          `cbor:"2,keyasint,omitempty"` // without the changes
}

// answer is a Changes. Its items are much alike, so they are compressed.
type answer struct {
	Revision unit.Revision `cbor:"1,keyasint"`
	Complete bool          `cbor:"2,keyasint,omitempty"`
	Items    []byte        `cbor:"3,keyasint,omitempty"` // CBOR, DEFLATE
}

func encodeAnswer(c Changes) ([]byte, error) {
	a := answer{Revision: c.Revision, Complete: c.Complete}
	if len(c.Items) > 0 {
		var err error
		if a.Items, err = compress(c.Items); err != nil {
			return nil, err
		}
	}
	body, err := record.Marshal(a)
	if err != nil {
		return nil, errors.Errorf("encode changes: %w", err)
	}
	return body, nil
}

func decodeAnswer(body []byte) (Changes, error) {
	var a answer
	if err := cbor.Unmarshal(body, &a); err != nil {
		return Changes{}, errors.Errorf("decode changes: %w", err)
	}
	c := Changes{Revision: a.Revision, Complete: a.Complete}
	if len(a.Items) == 0 {
		return c, nil
	}
	var err error
	if c.Items, err = decompress(a.Items); err != nil {
		return Changes{}, err
	}
	return c, nil
}

func compress(items []kv.Item) ([]byte, error) {
	var body bytes.Buffer
	w, err := flate.NewWriter(&body, flate.DefaultCompression)
	if err != nil {
		return nil, errors.Errorf("compress items: %w", err)
	}
	if err := cbor.NewEncoder(w).Encode(items); err != nil {
		return nil, errors.Errorf("encode items: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, errors.Errorf("compress items: %w", err)
	}
	return body.Bytes(), nil
}

func decompress(body []byte) ([]kv.Item, error) {
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(body)), maxItemBytes+1))
	if err != nil {
		return nil, errors.Errorf("decompress items: %w", err)
	}
	if len(plain) > maxItemBytes {
		return nil, errors.Errorf("items of more than %d bytes", maxItemBytes)
	}
	var items []kv.Item
	if err := cbor.Unmarshal(plain, &items); err != nil {
		return nil, errors.Errorf("decode items: %w", err)
	}
	return items, nil
}
