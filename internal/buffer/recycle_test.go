package buffer

import "testing"

// TestRecycle checks that memory that is given up is used again, up to a limit, and that only whole slices from Allocate are.
func TestRecycle(t *testing.T) {
	b := append(Allocate(5000), "text"...)
	if cap(b) != 8192 {
		t.Fatalf("a capacity of %d", cap(b))
	}
	Recycle(b[:0:100])
	Recycle(b)
	again := Allocate(8192)
	if len(again) != 0 || &again[:1][0] != &b[0] {
		t.Error("the memory is not used again")
	}
	for range 10 {
		Recycle(make([]byte, 0, 1<<20))
	}
	if n := Waiting(); n > MaxRecycledBytes {
		t.Errorf("%d bytes wait, %d allowed", n, MaxRecycledBytes)
	}
	if small := Allocate(100); cap(small) != 100 {
		t.Errorf("a capacity of %d for a small slice", cap(small))
	}
}
