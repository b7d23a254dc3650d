fleet {
  requests {
    rate    = 100
    part    = 1
    reserve = percent(10)
  }
  book "kalahari-core" {
    priority = "always"
    requests {
      rate    = 50
      floor   = 70
      reserve = percent(10)
    }
    repeats { rate = 80 }
  }
  book "namib-factors" {
    borrow = false
    requests {
      rate  = 50
      floor = 5
    }
  }
  book "namib-factors" { share = percent(5) }
  book "*" {
    requests { rate = 200 }
    class "aging-report" { priority = "always" }
  }
}
degrade "one" {
  above  = percent(5)
  refuse = ["aging-report"]
}
degrade "two" {
  above  = percent(10)
  below  = percent(12)
  refuse = ["aging-report", "ledger-veiw"]
}
degrade "three" {
  above  = percent(10)
  refuse = ["payment-post"]
}
