package names

type newsBook struct { // want `newsBook uses "news": say update`
	heardAt int // want `heardAt uses "heard": say apply or seen`
	Sent    int
}

func (newsBook) tellAll() {} // want `tellAll uses "tell"`

const storyteller = 1

var serverCount int // want `serverCount uses "server": say endpoint`

func update(told int) int { return told } // parameters are free
