package account

import "github.com/rosemarysill/rosemarysill"

// Queue yields waiting jobs: the most urgent class first, within a class the
// account with the smallest borrowed share first, within an account the order
// of submission. The number and size of an account's requests do not change its
// place.
type Queue struct {
	book    *Book
	waiting []rosemarysill.WaitingJob
	classes [][]line // by rank
}

// line is the waiting jobs of one account in one class.
type line struct {
	account string
	jobs    []int
}

// NewQueue returns a queue over those waiting jobs, in order of submission, for
// which include is true. The book is read at each call of Next.
func NewQueue(waiting []rosemarysill.WaitingJob, include []bool, book *Book) *Queue {
	q := &Queue{book: book, waiting: waiting, classes: make([][]line, len(rosemarysill.Classes())+1)}
	type key struct {
		rank    int
		account string
	}
	at := map[key]int{}
	for i := range waiting {
		if !include[i] {
			continue
		}
		k := key{waiting[i].Spec.Class.Rank(), waiting[i].Spec.Account}
		n, ok := at[k]
		if !ok {
			n = len(q.classes[k.rank])
			at[k] = n
			q.classes[k.rank] = append(q.classes[k.rank], line{account: k.account})
		}
		l := &q.classes[k.rank][n]
		l.jobs = append(l.jobs, i)
	}
	return q
}

// Next removes the next job and returns its index. Accounts with equal shares
// go in the order of their first waiting jobs.
func (q *Queue) Next() (int, bool) {
	for _, lines := range q.classes {
		best, bestShare := -1, 0.0
		for n := range lines {
			if len(lines[n].jobs) == 0 {
				continue
			}
			share := q.book.Share(lines[n].account)
			if best < 0 || share < bestShare || share == bestShare && lines[n].jobs[0] < lines[best].jobs[0] {
				best, bestShare = n, share
			}
		}
		if best >= 0 {
			i := lines[best].jobs[0]
			lines[best].jobs = lines[best].jobs[1:]
			return i, true
		}
	}
	return 0, false
}
