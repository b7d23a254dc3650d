defaults { reserve = 1 }
defaults { wait = "1s" }
locals { a = 1 }
locals { a = 2 }
fleet {
  requests {
    rate   = 100
    weight = 0
  }
  requests { rate = 5 }
  open {
    most  = 5
    burst = 5
  }
  work { rate = null }
  class "payment-post" {
    priority = "always"
    requests {
      rate    = 10
      reserve = percent(10)
    }
  }
}
fleet {
  requests { rate = 1 }
}
degrade "one" {
  above  = 1
  refuse = []
}
degrade "one" {
  above  = percent(50)
  refuse = ["aging-report"]
}
