// Package freecores indexes endpoints by the number of their free cores, rounded down. A search visits
// only the endpoints that may have enough: in a busy cell most endpoints are full.
package freecores

// maxBucket is the highest number of free cores that an Index distinguishes. Endpoints with more free
// cores are in the same bucket.
const maxBucket = 256

// MilliCPUPerCore is the amount of CPU of one core, in thousandths of a core.
const MilliCPUPerCore = 1000

// Index holds entries in buckets, by their number of free cores. The zero value is empty.
type Index struct {
	buckets [maxBucket + 1][]*Entry
	// highest is the highest bucket that has ever held an entry.
	highest int
}

// Entry is the place of an endpoint in an Index. An entry is in one index at most.
type Entry struct {
	// Value is the endpoint. The index does not use it.
	Value any
	// indexed is set while the entry is in an index, at the given position of a bucket.
	indexed  bool
	bucket   int
	position int
}

// BucketOf returns the bucket for an amount of CPU in thousandths of a core.
func BucketOf(milliCPU int) int {
	return min(max(milliCPU/MilliCPUPerCore, 0), maxBucket)
}

// Highest returns the highest bucket that may hold an entry.
func (x *Index) Highest() int {
	return x.highest
}

// Bucket returns the entries with the given number of free cores. The caller must not change the list, or
// use it after a call of Update or Remove.
func (x *Index) Bucket(cores int) []*Entry {
	return x.buckets[cores]
}

// Update adds an entry to the index, or moves it to the bucket of its free CPU, in thousandths of a core.
func (x *Index) Update(e *Entry, freeMilliCPU int) {
	bucket := BucketOf(freeMilliCPU)
	if e.indexed {
		if e.bucket == bucket {
			return
		}
		x.Remove(e)
	}
	e.indexed, e.bucket, e.position = true, bucket, len(x.buckets[bucket])
	x.buckets[bucket] = append(x.buckets[bucket], e)
	x.highest = max(x.highest, bucket)
}

// Remove removes an entry from the index, if it is there.
func (x *Index) Remove(e *Entry) {
	if !e.indexed {
		return
	}
	list := x.buckets[e.bucket]
	last := list[len(list)-1]
	list[e.position], last.position = last, e.position
	list[len(list)-1] = nil
	x.buckets[e.bucket] = list[:len(list)-1]
	e.indexed = false
}
