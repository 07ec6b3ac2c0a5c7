package limiter

import (
	"math/bits"
	"sync"
)

// minPooledBuffer is the smallest buffer that is kept for other bodies.
const minPooledBuffer = firstBuffer

// buffers holds buffers of 1<<n bytes at index n, until the next collections of garbage.
// Without them, clients that send one body after the other and are rejected make garbage
// faster than it is collected. Only buffers that no handler has seen come back.
var buffers [bits.UintSize]sync.Pool

// bufferSize returns the size of the buffer for a number of bytes, a power of two unless it
// is too small to be kept.
func bufferSize(size int64) int64 {
	if size < minPooledBuffer {
		return size
	}
	return 1 << bits.Len64(uint64(size-1))
}

// takeBuffer returns an empty buffer of bufferSize.
func takeBuffer(size int64) []byte {
	size = bufferSize(size)
	if size >= minPooledBuffer {
		if kept, ok := buffers[bits.Len64(uint64(size-1))].Get().(*[]byte); ok {
			return (*kept)[:0]
		}
	}
	return make([]byte, 0, size)
}

// returnBuffer keeps a buffer that is used no more.
func returnBuffer(buffer []byte) {
	size := int64(cap(buffer))
	if size < minPooledBuffer || size != bufferSize(size) {
		return
	}
	buffers[bits.Len64(uint64(size-1))].Put(&buffer)
}
